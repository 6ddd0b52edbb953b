package sycamorehill.logic.health;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.logic.RandomSequence;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.policy.HealthPolicy;
import sycamorehill.model.target.ServingTarget;

/**
 * State of the health reducer: ejected and leaving targets. Ejections are not shared with
 * other nodes, because a failed connection may be caused by this node's own network link.
 *
 * @param targets the health of each target that this node has used
 * @param leaving the leaving notices by target
 * @param attempts the running attempts
 * @param checks the scheduled checks of attempts without a first token
 * @param random the sequence of random numbers
 * @param forgetAt the time of the next removal of unused targets
 */
public record HealthState(PMap<TargetName, TargetHealth> targets, PMap<TargetName, TargetLeavingNotice> leaving,
		PMap<AttemptIdentifier, PendingAttempt> attempts, PSortedSet<FirstTokenCheck> checks, RandomSequence random,
		Instant forgetAt) {

	/**
	 * Returns the initial state of a node.
	 * @return the state before the first event
	 */
	public static HealthState initial() {
		return new HealthState(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), TreePSet.empty(),
				RandomSequence.of(0), Instant.MIN);
	}

	/**
	 * Filters out targets that are leaving, ejected, or returning and at their allowance.
	 * @param targets all targets of one service
	 * @param now the current monotonic time
	 * @param policy the health policy
	 * @return the targets that may receive requests, in the same order
	 */
	public List<ServingTarget> usable(List<ServingTarget> targets, Instant now, HealthPolicy policy) {
		return UsableTargets.of(this, targets, now, policy);
	}

	/**
	 * Returns whether the target has announced that it is leaving.
	 * @param target the target
	 * @param now the current monotonic time
	 * @return whether it must not receive new requests
	 */
	public boolean leaving(ServingTarget target, Instant now) {
		TargetLeavingNotice notice = this.leaving.get(target.name());
		return notice != null && notice.generation() == TargetHealth.generationOf(target)
				&& now.isBefore(notice.until());
	}

	HealthState with(TargetName name, TargetLeavingNotice notice) {
		return new HealthState(this.targets, this.leaving.plus(name, notice), this.attempts, this.checks, this.random,
				this.forgetAt);
	}

	Optional<TargetHealth> healthOf(ServingTarget target) {
		return Optional.ofNullable(this.targets.get(target.name()))
			.filter((health) -> health.generation() == TargetHealth.generationOf(target));
	}

	HealthState with(TargetName name, TargetHealth health) {
		return new HealthState(this.targets.plus(name, health), this.leaving, this.attempts, this.checks, this.random,
				this.forgetAt);
	}

	HealthState withTargets(PMap<TargetName, TargetHealth> kept, Instant nextForgetAt) {
		return new HealthState(kept, this.leaving, this.attempts, this.checks, this.random, nextForgetAt);
	}

	HealthState withRandom(RandomSequence changed) {
		return new HealthState(this.targets, this.leaving, this.attempts, this.checks, changed, this.forgetAt);
	}

	HealthState with(AttemptIdentifier identifier, PendingAttempt attempt) {
		HealthState cleared = without(identifier);
		PSortedSet<FirstTokenCheck> byTime = cleared.checks;
		if (attempt.checkAt().isPresent()) {
			byTime = byTime.plus(new FirstTokenCheck(attempt.checkAt().get(), identifier));
		}
		return new HealthState(this.targets, this.leaving, cleared.attempts.plus(identifier, attempt), byTime,
				this.random, this.forgetAt);
	}

	HealthState without(AttemptIdentifier identifier) {
		PendingAttempt old = this.attempts.get(identifier);
		if (old == null) {
			return this;
		}
		PSortedSet<FirstTokenCheck> byTime = this.checks;
		if (old.checkAt().isPresent()) {
			byTime = byTime.minus(new FirstTokenCheck(old.checkAt().get(), identifier));
		}
		return new HealthState(this.targets, this.leaving, this.attempts.minus(identifier), byTime, this.random,
				this.forgetAt);
	}

}
