package sycamorehill.model.serving;

import java.util.Optional;
import java.util.Set;

/**
 * What an engine tells of itself when asked.
 *
 * @param acceptedCommands orders that began something since that start
 * @param staged models whose weights lie on the engine's host
 * @param membership the engine's group
 */
public record EngineReport(long acceptedCommands, Set<String> staged, Optional<Membership> membership) {

	/**
	 * Copies the staged models.
	 */
	public EngineReport {
		staged = Set.copyOf(staged);
	}

}
