package sycamorehill.runtime;

import sycamorehill.model.effect.Effect;

/**
 * Carries out effects. Implementations must not block because they run on the control
 * thread.
 */
@FunctionalInterface
public interface EffectPort {

	/**
	 * Starts to carry out an effect.
	 * @param effect the effect
	 */
	void carryOut(Effect effect);

}
