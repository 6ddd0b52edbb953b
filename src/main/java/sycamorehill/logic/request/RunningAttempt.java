package sycamorehill.logic.request;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.target.ServingTarget;

/**
 * The running attempt of a request.
 *
 * @param identifier the identifier of the attempt
 * @param target the target that the attempt was sent to
 */
record RunningAttempt(AttemptIdentifier identifier, ServingTarget target) {

}
