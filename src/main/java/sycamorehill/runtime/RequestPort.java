package sycamorehill.runtime;

import sycamorehill.model.effect.RequestEffect;

/**
 * Carries out effects on callers' requests, on traffic threads.
 */
@FunctionalInterface
public interface RequestPort {

	/**
	 * Begins to carry an effect out.
	 * @param effect what is to be done
	 */
	void carryOut(RequestEffect effect);

}
