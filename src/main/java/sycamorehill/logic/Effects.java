package sycamorehill.logic;

import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEffect;

/**
 * Collects what one step wants done, in its order.
 */
public final class Effects {

	private final List<EntryEffect> collected = new ArrayList<>();

	private Effects() {
	}

	/**
	 * Begins a step.
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
	 * @param detail what it is about
	 */
	public void log(LogEvent event, String detail) {
		add(new EntryEffect.Log(LogLine.of(event, detail)));
	}

	/**
	 * What was collected.
	 * @return the effects in their order
	 */
	public List<EntryEffect> all() {
		return List.copyOf(this.collected);
	}

}
