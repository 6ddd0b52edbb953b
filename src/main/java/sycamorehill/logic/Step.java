package sycamorehill.logic;

import java.util.List;

import sycamorehill.model.effect.Effect;

/**
 * The result of one step.
 *
 * @param <S> the type of state
 * @param state the state after it
 * @param effects what is to be done
 */
public record Step<S>(S state, List<Effect> effects) {

	/**
	 * A step that does nothing outside.
	 * @param <S> the type of state
	 * @param state the state after it
	 * @return the step
	 */
	public static <S> Step<S> of(S state) {
		return new Step<>(state, List.of());
	}

	/**
	 * A step with effects.
	 * @param <S> the type of state
	 * @param state the state after it
	 * @param effects what is to be done, in this order
	 * @return the step
	 */
	public static <S> Step<S> of(S state, List<Effect> effects) {
		return new Step<>(state, effects);
	}

	/**
	 * A step with effects.
	 * @param <S> the type of state
	 * @param state the state after it
	 * @param effects what is to be done, in this order
	 * @return the step
	 */
	public static <S> Step<S> of(S state, Effect... effects) {
		return new Step<>(state, List.of(effects));
	}

}
