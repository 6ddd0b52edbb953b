package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.logic.group.LeaseState.LeaseAttempt;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.GroupPolicy;

/**
 * Takes, renews and gives back the lease of a data centre's controller. Its age is
 * counted on the own monotonic clock from before a renewal was sent; wall clocks of
 * different nodes are never compared.
 */
final class ControllerLeaseManager {

	private ControllerLeaseManager() {
	}

	/**
	 * The call that is due.
	 * @param state what is known of the lease
	 * @param now own monotonic time
	 * @param self this node
	 * @param candidate whether this node may take the lease
	 * @param policy the bounds
	 * @return the call, empty if none is due
	 */
	static Optional<PlatformRequest> dueRequest(LeaseState state, Instant now, NodeIdentity self, boolean candidate,
			GroupPolicy policy) {
		if (now.isBefore(state.nextAt()) || !(candidate || state.isHeld(now))) {
			return Optional.empty();
		}
		if (state.isHeld(now) && !state.readFirst()) {
			return writeRequest(state, now, self, policy);
		}
		return Optional.of(new PlatformRequest.Read(key(self)));
	}

	/**
	 * Takes in a read of the lease.
	 * @param state what was known
	 * @param now own monotonic time
	 * @param answer the answer
	 * @return what is known now
	 */
	static LeaseState applyRead(LeaseState state, Instant now, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.Found found && found.object().value() instanceof ControllerLease lease) {
			LeaseState seen = state.withSeen(lease, found.object().version(), now);
			// Failure: the answer of a renewal is lost although it took effect. The
			// lease read back carries the own write: it is held, but only from the time
			// before that write was sent.
			return state.attempt()
				.filter((attempt) -> attempt.lease().equals(lease))
				.map((attempt) -> seen.withHeldUntil(expiresAt(attempt)))
				.orElse(seen);
		}
		if (answer instanceof PlatformAnswer.Missing) {
			return LeaseState.initial().withNextAt(state.nextAt());
		}
		return state;
	}

	/**
	 * The write that follows a read, if this node holds the lease or may take it.
	 * @param state what is known after the read
	 * @param now own monotonic time
	 * @param self this node
	 * @param policy the bounds
	 * @return the write, empty if another node's lease may still hold
	 */
	static Optional<PlatformRequest> writeRequest(LeaseState state, Instant now, NodeIdentity self,
			GroupPolicy policy) {
		NodeIncarnation own = self.incarnation();
		if (state.seen().isEmpty()) {
			return Optional.of(new PlatformRequest.Create(key(self),
					new ControllerLease(self.dataCentre(), own, 1, policy.leaseLength(), 1)));
		}
		ControllerLease seen = state.seen().get();
		boolean isOwn = seen.holder().equals(own);
		boolean isExpired = !state.seenSince().plus(seen.length()).isAfter(now);
		if (!isOwn && !isExpired) {
			return Optional.empty();
		}
		long fencingNumber = isOwn ? seen.fencingNumber() : seen.fencingNumber() + 1;
		ControllerLease next = new ControllerLease(self.dataCentre(), own, fencingNumber, policy.leaseLength(),
				seen.renewal() + 1);
		return Optional.of(new PlatformRequest.Update(key(self), next, state.version()));
	}

	/**
	 * Takes in the answer of a write of the lease.
	 * @param state what was known
	 * @param now own monotonic time
	 * @param answer the answer
	 * @return what is known now
	 */
	static LeaseState applyWrite(LeaseState state, Instant now, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.Written written && state.attempt().isPresent()) {
			LeaseAttempt attempt = state.attempt().get();
			return state.withSeen(attempt.lease(), written.version(), now).withHeldUntil(expiresAt(attempt));
		}
		if (answer instanceof PlatformAnswer.Conflict) {
			return state.withReadFirst().withNextAt(now);
		}
		return state.withReadFirst();
	}

	/**
	 * The write that gives the lease back when the node stops: a lease of no length.
	 * @param state what is known
	 * @param self this node
	 * @return the write
	 */
	static PlatformRequest releaseRequest(LeaseState state, NodeIdentity self) {
		ControllerLease next = new ControllerLease(self.dataCentre(), self.incarnation(), state.fencingNumber(),
				Duration.ZERO, state.seen().map(ControllerLease::renewal).orElse(0L) + 1);
		return new PlatformRequest.Update(key(self), next, state.version());
	}

	private static Instant expiresAt(LeaseAttempt attempt) {
		return attempt.sentAt().plus(attempt.lease().length());
	}

	private static ObjectKey key(NodeIdentity self) {
		return ObjectKey.of(ObjectKind.CONTROLLER_LEASE, self.dataCentre().value());
	}

}
