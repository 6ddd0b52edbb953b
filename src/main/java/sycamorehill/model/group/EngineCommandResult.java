package sycamorehill.model.group;

/**
 * The result of a command to an engine.
 */
public enum EngineCommandResult {

	/** The engine accepted the command. */
	ACCEPTED,

	/** The engine refused: it had received a higher fencing number before. */
	REFUSED_FENCED,

	/** The engine refused for another reason. */
	REFUSED,

	/** No answer: the engine may have accepted the command or may still do so. */
	NOT_KNOWN

}
