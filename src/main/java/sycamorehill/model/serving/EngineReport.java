package sycamorehill.model.serving;

import java.util.Optional;
import java.util.Set;

/**
 * State that an engine reports on request.
 *
 * @param acceptedCommands number of commands that the engine has started since its
 * process started
 * @param staged models whose weights are stored on the engine's host
 * @param membership the engine's membership in a group
 */
public record EngineReport(long acceptedCommands, Set<String> staged, Optional<Membership> membership) {

	/**
	 * Copies the staged models.
	 */
	public EngineReport {
		staged = Set.copyOf(staged);
	}

}
