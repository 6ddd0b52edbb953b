package sycamorehill.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;

/**
 * Logs objects of the store that can't be read, each of them once until its fault changes
 * or it can be read again: the objects are read several times a second. Used by the event
 * loop only.
 */
final class UnreadableObjects {

	/** Number of objects whose faults are kept; the oldest is dropped first. */
	private static final int MAXIMUM_OBJECTS = 1000;

	private static final int MAXIMUM_CAUSE_CHARACTERS = 300;

	private final Map<String, String> causes = new LinkedHashMap<>();

	private final Consumer<LogLine> log;

	private UnreadableObjects(Consumer<LogLine> log) {
		this.log = log;
	}

	static UnreadableObjects of(Consumer<LogLine> log) {
		return new UnreadableObjects(log);
	}

	/**
	 * Logs that an object has no readable name.
	 * @param kind the kind of the object
	 * @param fault the fault
	 */
	void reportNameless(String kind, RuntimeException fault) {
		String cause = describe(fault);
		log(kind + " without a name " + cause, "kind=" + kind + " name=without a name", cause);
	}

	/**
	 * Logs that an object can't be read.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 * @param fault the fault
	 */
	void report(String kind, String name, RuntimeException fault) {
		String shown = JsonFields.abbreviated(name);
		log(key(kind, shown), "kind=" + kind + " name=" + shown, describe(fault));
	}

	private void log(String key, String object, String cause) {
		if (!cause.equals(this.causes.put(key, cause))) {
			this.log.accept(LogLine.of(LogEvent.STORE_CONTENT_UNREADABLE, object + " cause='" + cause + "'"));
		}
		if (this.causes.size() > MAXIMUM_OBJECTS) {
			this.causes.remove(this.causes.keySet().iterator().next());
		}
	}

	/**
	 * Records that an object can be read, or is gone.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 */
	void clear(String kind, String name) {
		if (!this.causes.isEmpty()) {
			this.causes.remove(key(kind, JsonFields.abbreviated(name)));
		}
	}

	private static String key(String kind, String shownName) {
		return kind + '/' + shownName;
	}

	private static String describe(RuntimeException fault) {
		String text = String.valueOf(fault.getMessage());
		return text.substring(0, Math.min(text.length(), MAXIMUM_CAUSE_CHARACTERS));
	}

}
