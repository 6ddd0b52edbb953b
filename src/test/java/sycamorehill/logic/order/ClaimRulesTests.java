package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Optional;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.experiment.OrderTrialView;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;

class ClaimRulesTests {

	private static final OrderKey KEY = new OrderKey(1, 1);

	private static final Fingerprint CONTENT = new Fingerprint("a");

	private static final NodeIdentity HOLDER = new NodeIdentity(NodeIncarnation.of(NodeName.of("n1"), 1),
			DataCentreName.of("here"), Address.of("10.0.0.1", 1000));

	private static final ClaimRules RULES = ClaimRules
		.of(new OrderTrialView(HOLDER, Policy.standard().withOrder(OrderPolicy.standard()), LiveNodes.empty()), 0);

	@Test
	void releaseOfUnknownClaimIsWritten() {
		// A write of the claim is still pending when its release arrives. If the
		// release were confirmed without a write, the claim would take effect later
		// and block its key.
		ClaimRules.Decision decision = RULES.decide(null, settleOperation(OrderStatus.RELEASED));
		Assertions.assertThat(decision.change().orElseThrow().status()).isEqualTo(OrderStatus.RELEASED);
	}

	@Test
	void releasedMarkIsNotGrantedAgain() {
		// A duplicate of the claim request arrives after the claim was released. If
		// it were granted, no node would run or settle the order.
		ClaimRules.Decision decision = RULES.decide(claim(OrderStatus.RELEASED), claimOperation("m1"));
		Assertions.assertThat(claimDecision(decision)).isEqualTo(OrderClaimDecision.NOT_TAKEN);
	}

	@Test
	void releasedKeyIsGrantedToNextCall() {
		Assertions.assertThat(claimDecision(RULES.decide(claim(OrderStatus.RELEASED), claimOperation("m2"))))
			.isEqualTo(OrderClaimDecision.GRANTED);
	}

	@Test
	void recordedClaimIsNeverReleased() {
		Assertions.assertThat(RULES.decide(claim(OrderStatus.RECORDED), settleOperation(OrderStatus.RELEASED)).change())
			.isEmpty();
	}

	@Test
	void unknownClaimIsNeverGranted() {
		Assertions.assertThat(claimDecision(RULES.decide(claim(OrderStatus.UNKNOWN), claimOperation("m2"))))
			.isEqualTo(OrderClaimDecision.UNKNOWN);
	}

	private static OrderClaim claim(OrderStatus status) {
		return new OrderClaim(KEY, CONTENT, HOLDER.incarnation(), "m1", status, Optional.empty(), 0);
	}

	private static ShardOperation claimOperation(String mark) {
		return new ShardOperation.Claim(KEY, mark, CONTENT, HOLDER, Instant.EPOCH);
	}

	private static ShardOperation settleOperation(OrderStatus status) {
		return new ShardOperation.Settle(KEY, "m1", status, Optional.empty(), HOLDER, Instant.EPOCH);
	}

	private static OrderClaimDecision claimDecision(ClaimRules.Decision decision) {
		return ((OrderClaimReply) decision.reply()).verdict();
	}

}
