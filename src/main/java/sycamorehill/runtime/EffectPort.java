package sycamorehill.runtime;

import sycamorehill.model.effect.Effect;

/**
 * Carries effects out. It must not block: it runs on the control thread.
 */
@FunctionalInterface
public interface EffectPort {

	/**
	 * Begins to carry an effect out.
	 * @param effect what is to be done
	 */
	void carryOut(Effect effect);

}
