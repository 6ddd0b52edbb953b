package sycamorehill.model.ticket;

import java.util.List;

import sycamorehill.model.platform.PlatformValue;

/**
 * The truth after a ticket, readable without history.
 *
 * @param number the last ticket folded in
 * @param items every item in force, by key
 * @param formatVersion version of the format
 */
public record TruthSnapshot(long number, List<ItemInForce> items, int formatVersion) implements PlatformValue {

}
