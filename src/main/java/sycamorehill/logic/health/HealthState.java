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
 * State of the part: which targets are put aside. It is this node's own sight alone: a
 * broken link of one node says nothing about the target to the others.
 *
 * @param targets what was seen of the targets
 * @param leaving the targets that said that they are leaving
 * @param attempts the attempts under way
 * @param checks when attempts without a first token are looked at
 * @param random the random numbers to come
 * @param forgetAt when unused targets are next forgotten
 */
public record HealthState(PMap<TargetName, TargetHealth> targets, PMap<TargetName, TargetLeavingNotice> leaving,
		PMap<AttemptIdentifier, PendingAttempt> attempts, PSortedSet<FirstTokenCheck> checks, RandomSequence random,
		Instant forgetAt) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static HealthState initial() {
		return new HealthState(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), TreePSet.empty(),
				RandomSequence.of(0), Instant.MIN);
	}

	/**
	 * Leaves those out that are leaving, put aside, or returning and busy enough.
	 * @param targets all targets of one service
	 * @param now monotonic time
	 * @param policy the bounds
	 * @return those that may be given work, in the same order
	 */
	public List<ServingTarget> usable(List<ServingTarget> targets, Instant now, HealthPolicy policy) {
		return UsableTargets.of(this, targets, now, policy);
	}

	/**
	 * Whether the target itself said that it is leaving.
	 * @param target the target
	 * @param now monotonic time
	 * @return whether it must get no new work
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
