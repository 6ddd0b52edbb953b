package sycamorehill.model.effect;

/**
 * Something to be done by the runtime after a step of the reducer.
 */
public sealed interface Effect
		permits NodeEffect, RequestEffect, PlatformEffect, PeerEffect, TargetEffect, OperatorEffect {

}
