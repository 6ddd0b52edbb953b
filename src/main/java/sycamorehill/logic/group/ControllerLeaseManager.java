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
 * Acquires, renews and releases the lease of a data centre's controller. Its duration is
 * measured on the node's own monotonic clock, starting before a renewal is sent; wall
 * clocks of different nodes are never compared.
 */
final class ControllerLeaseManager {

	private ControllerLeaseManager() {
	}

	/**
	 * Returns the request that is due.
	 * @param state the known state of the lease
	 * @param now the current monotonic time of this node
	 * @param self this node
	 * @param candidate whether this node may acquire the lease
	 * @param policy the policy for groups
	 * @return the request, empty if none is due
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
	 * Applies the answer to a read of the lease.
	 * @param state the state before the answer
	 * @param now the current monotonic time of this node
	 * @param answer the answer
	 * @return the state after the answer
	 */
	static LeaseState applyRead(LeaseState state, Instant now, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.Found found && found.object().value() instanceof ControllerLease lease) {
			LeaseState seen = state.withSeen(lease, found.object().version(), now);
			// A renewal may have taken effect although its answer was lost. If the stored
			// lease equals this node's last write, this node holds the lease, but its
			// length counts from before that write was sent.
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
	 * Returns the write that follows a read, if this node holds the lease or may acquire
	 * it.
	 * @param state the state after the read
	 * @param now the current monotonic time of this node
	 * @param self this node
	 * @param policy the policy for groups
	 * @return the write, empty if another node's lease may still be valid
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
	 * Applies the answer to a write of the lease.
	 * @param state the state before the answer
	 * @param now the current monotonic time of this node
	 * @param answer the answer
	 * @return the state after the answer
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
	 * Returns the write that releases the lease by setting its length to zero.
	 * @param state the known state of the lease
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
