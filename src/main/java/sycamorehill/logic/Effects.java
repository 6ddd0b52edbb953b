package sycamorehill.logic;

import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEffect;

/**
 * Collects the effects of one step in the order in which they are to be executed.
 */
public final class Effects {

	private final List<EntryEffect> collected = new ArrayList<>();

	private Effects() {
	}

	/**
	 * Creates an empty collection for a new step.
	 * @return an empty collection
	 */
	public static Effects create() {
		return new Effects();
	}

	/**
	 * Adds an effect.
	 * @param effect the effect
	 */
	public void add(EntryEffect effect) {
		this.collected.add(effect);
	}

	/**
	 * Adds a log line.
	 * @param event the numbered event
	 * @param detail the text of the line
	 */
	public void log(LogEvent event, String detail) {
		add(new EntryEffect.Log(LogLine.of(event, detail)));
	}

	/**
	 * Returns the collected effects.
	 * @return the effects in the order in which they were added
	 */
	public List<EntryEffect> all() {
		return List.copyOf(this.collected);
	}

}
