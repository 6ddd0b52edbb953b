package sycamorehill.model.event;

/**
 * Input of the reducers. Events come from outside, or are raised by one reducer for the
 * other reducers within the same step.
 */
public sealed interface Event permits NodeEvent, RequestEvent, PlatformEvent, PeerEvent, TargetEvent, OperatorEvent {

}
