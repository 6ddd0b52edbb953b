package sycamorehill.model.event;

/**
 * Something that happened. Events come from outside, or are raised by one part of the
 * reducer for the others in the same step.
 */
public sealed interface Event permits NodeEvent, RequestEvent, PlatformEvent, PeerEvent, TargetEvent, OperatorEvent {

}
