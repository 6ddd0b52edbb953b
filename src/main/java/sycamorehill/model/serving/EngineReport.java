package sycamorehill.model.serving;

import java.util.Optional;

/**
 * What an engine tells of itself when asked.
 *
 * @param ordersAccepted orders that began something since that start
 * @param membership the engine's group
 */
public record EngineReport(long ordersAccepted, Optional<Membership> membership) {
}
