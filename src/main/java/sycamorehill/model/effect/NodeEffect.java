package sycamorehill.model.effect;

import sycamorehill.model.event.Event;
import sycamorehill.model.log.LogLine;

/**
 * Effects on the node itself.
 */
public sealed interface NodeEffect extends Effect {

	/**
	 * Passes an event to all parts of the reducer within the same step.
	 *
	 * @param event the event
	 */
	record Raise(Event event) implements NodeEffect {
	}

	/**
	 * Writes a numbered log line.
	 *
	 * @param line the line
	 */
	record WriteLog(LogLine line) implements NodeEffect {
	}

	/**
	 * Ends the process after everything in flight has ended.
	 */
	record Exit() implements NodeEffect {
	}

}
