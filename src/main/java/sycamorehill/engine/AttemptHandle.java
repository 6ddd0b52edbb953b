package sycamorehill.engine;

/**
 * An attempt under way.
 */
@FunctionalInterface
public interface AttemptHandle {

	/**
	 * Drops what still comes and cancels the work at the target, as far as it can be told
	 * to.
	 */
	void cancel();

}
