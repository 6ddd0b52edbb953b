package sycamorehill.runtime;

import sycamorehill.model.effect.RequestEffect;

/**
 * Carries out effects on callers' requests on the traffic threads.
 */
@FunctionalInterface
public interface RequestPort {

	/**
	 * Starts to carry out an effect.
	 * @param effect the effect
	 */
	void carryOut(RequestEffect effect);

}
