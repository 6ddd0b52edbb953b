package sycamorehill.model.effect;

/**
 * Action that the runtime executes after a step of the reducer.
 */
public sealed interface Effect
		permits NodeEffect, RequestEffect, PlatformEffect, PeerEffect, TargetEffect, OperatorEffect {

}
