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
	void releaseOfAClaimThatIsNotSeenIsWritten() {
		// A write of the claim is still under way when its release arrives. Confirmed
		// without a write, the claim would take effect later and keep its key.
		ClaimRules.Decision decision = RULES.decide(null, settle(OrderStatus.RELEASED));
		Assertions.assertThat(decision.change().orElseThrow().status()).isEqualTo(OrderStatus.RELEASED);
	}

	@Test
	void releasedMarkIsNotGrantedAgain() {
		// A late copy of the question meets its own release: granted, nobody would run it
		// and nobody would settle it.
		ClaimRules.Decision decision = RULES.decide(claim(OrderStatus.RELEASED), ask("m1"));
		Assertions.assertThat(verdict(decision)).isEqualTo(OrderClaimDecision.NOT_TAKEN);
	}

	@Test
	void releasedKeyIsGrantedToTheNextCall() {
		Assertions.assertThat(verdict(RULES.decide(claim(OrderStatus.RELEASED), ask("m2"))))
			.isEqualTo(OrderClaimDecision.GRANTED);
	}

	@Test
	void recordedClaimIsNeverReleased() {
		Assertions.assertThat(RULES.decide(claim(OrderStatus.RECORDED), settle(OrderStatus.RELEASED)).change())
			.isEmpty();
	}

	@Test
	void unknownClaimIsNeverGranted() {
		Assertions.assertThat(verdict(RULES.decide(claim(OrderStatus.UNKNOWN), ask("m2"))))
			.isEqualTo(OrderClaimDecision.UNKNOWN);
	}

	private static OrderClaim claim(OrderStatus status) {
		return new OrderClaim(KEY, CONTENT, HOLDER.incarnation(), "m1", status, Optional.empty(), 0);
	}

	private static ShardOperation ask(String mark) {
		return new ShardOperation.Claim(KEY, mark, CONTENT, HOLDER, Instant.EPOCH);
	}

	private static ShardOperation settle(OrderStatus status) {
		return new ShardOperation.Settle(KEY, "m1", status, Optional.empty(), HOLDER, Instant.EPOCH);
	}

	private static OrderClaimDecision verdict(ClaimRules.Decision decision) {
		return ((OrderClaimReply) decision.reply()).verdict();
	}

}
