package sycamorehill.model.event;

/**
 * Input of the reducer. Events come from outside, or are raised by one part of the
 * reducer for the other parts within the same step.
 */
public sealed interface Event permits NodeEvent, RequestEvent, PlatformEvent, PeerEvent, TargetEvent, OperatorEvent {

}
