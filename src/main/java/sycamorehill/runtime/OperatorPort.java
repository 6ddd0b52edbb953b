package sycamorehill.runtime;

import sycamorehill.model.effect.OperatorEffect;

/**
 * Carries out effects that answer waiting operators.
 */
@FunctionalInterface
public interface OperatorPort {

	/**
	 * Answers an operator.
	 * @param effect the answer
	 */
	void carryOut(OperatorEffect effect);

}
