package sycamorehill.logic.request;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.target.ServingTarget;

/**
 * The attempt that is under way.
 *
 * @param identifier the attempt
 * @param target where it runs
 */
record RunningAttempt(AttemptIdentifier identifier, ServingTarget target) {

}
