package sycamorehill.logic;

import java.util.List;

import sycamorehill.model.effect.Effect;

/**
 * The result of handling one event.
 *
 * @param <S> the type of the state
 * @param state the state after the event
 * @param effects the effects to execute, in this order
 */
public record Step<S>(S state, List<Effect> effects) {

	/**
	 * Creates a step without effects.
	 * @param <S> the type of the state
	 * @param state the state after the event
	 * @return the step
	 */
	public static <S> Step<S> of(S state) {
		return new Step<>(state, List.of());
	}

	/**
	 * Creates a step with effects.
	 * @param <S> the type of the state
	 * @param state the state after the event
	 * @param effects the effects to execute, in this order
	 * @return the step
	 */
	public static <S> Step<S> of(S state, List<Effect> effects) {
		return new Step<>(state, effects);
	}

	/**
	 * Creates a step with effects.
	 * @param <S> the type of the state
	 * @param state the state after the event
	 * @param effects the effects to execute, in this order
	 * @return the step
	 */
	public static <S> Step<S> of(S state, Effect... effects) {
		return new Step<>(state, List.of(effects));
	}

}
