package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;

import sycamorehill.json.ModelJson;
import sycamorehill.logic.order.OrderHistory.Call;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;

/**
 * Tests the cases in which an order could run twice or its key could be refused forever.
 */
class OrderAtMostOnceTests {

	private static final OrderKey KEY = new OrderKey(1, 1);

	private OrderHistory history = new OrderHistory(1, 3, OrderPolicies.withShards(1));

	@AfterEach
	void noGuaranteeIsViolated() {
		Assertions.assertThat(OrderHistoryChecker.check(this.history)).isEmpty();
	}

	@Test
	void secondCallReceivesRecordedAnswer() {
		call(1);
		runForSeconds(3);
		Call second = call(2);
		runForSeconds(3);
		Assertions.assertThat(second.outcome())
			.contains(new RequestOutcome.Replayed(this.history.runs.get(0).answer()));
	}

	@Test
	void sameKeyWithDifferentContentIsRefused() {
		call(1);
		runForSeconds(3);
		Call second = this.history.call(node(2), KEY, "other content");
		runForSeconds(3);
		Assertions.assertThat(refusal(second).reason()).isEqualTo(RefusalReason.KEY_REUSED);
	}

	@Test
	void secondCallDuringFirstIsAnsweredStillRunning() {
		// The caller times out and calls again through another node while the first
		// call still runs. If it were answered "not run", it would place the order
		// again, and the order would run twice.
		Call first = call(1);
		runUntil(() -> first.cleared == 1);
		Call second = call(2);
		runUntil(() -> second.outcome().isPresent());
		Assertions.assertThat(second.outcome().get()).isInstanceOf(RequestOutcome.Unknown.class);
		Assertions.assertThat(refusal(second).reason()).isEqualTo(RefusalReason.STILL_RUNNING);
		runForSeconds(3);
	}

	@Test
	void claimWithLostWriteAnswerIsRecognizedByItsMark() {
		// The platform writes the claim, but its answer is lost. When the page is
		// read back, the key is claimed. The mark identifies the claim as the node's
		// own; otherwise the order would be refused although no node runs it.
		call(1);
		runForSeconds(3);
		OrderKey key = new OrderKey(1, 2);
		this.history.platform.faults(0, 1, 0);
		Call call = this.history.call(node(1), key, "a");
		runForSeconds(0.5);
		this.history.platform.faults(0, 0, 0);
		runForSeconds(5);
		Assertions.assertThat(call.outcome()).contains(new RequestOutcome.Completed());
	}

	@Test
	void claimCommittedAfterNotRunIsReleased() {
		// The write of a claim is delayed, the caller receives "not run", and then
		// the write takes effect. Unless the claim is released, every further call
		// is answered "still running" forever.
		call(1);
		runForSeconds(3);
		OrderKey key = new OrderKey(1, 2);
		this.history.platform.faults(0, 0, 1);
		Call refused = this.history.call(node(1), key, "a");
		runForSeconds(2.5);
		this.history.platform.faults(0, 0, 0);
		runForSeconds(10);
		Assertions.assertThat(refusal(refused).reason()).isEqualTo(RefusalReason.ORDER_STORE_UNAVAILABLE);
		Call next = this.history.call(node(2), key, "a");
		runForSeconds(5);
		Assertions.assertThat(next.outcome()).contains(new RequestOutcome.Completed());
	}

	@Test
	void claimUnknownToItsHolderIsReleased() {
		// A claim took effect long after its caller received "not run", and the
		// grant was lost, so no node knows of the claim. The caller's next call
		// receives "still running"; the call after that must run, or the key would
		// be refused forever.
		OrderClaim unknownToHolder = new OrderClaim(KEY, new Fingerprint("a"), node(1).incarnation(), "n1-1-r99",
				OrderStatus.CLAIMED, Optional.empty(), 0);
		put(new OrderShard(0, 1, false, HashTreePMap.singleton(KEY, unknownToHolder), "w1"));
		call(2);
		runForSeconds(5);
		Call next = call(2);
		runForSeconds(3);
		Assertions.assertThat(next.outcome()).contains(new RequestOutcome.Completed());
	}

	@Test
	void orderIsNotRunAgainAfterHolderCrashesBeforeSending() {
		// The node crashes after its claim is granted. Whether it had sent the order
		// is unknown, so the caller's next call receives "unknown".
		Call first = call(1);
		runUntil(() -> first.cleared == 1);
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::updateLiveNodes);
		Call second = call(2);
		runForSeconds(5);
		Assertions.assertThat(refusal(second).reason()).isEqualTo(RefusalReason.TARGET_LOST);
		Assertions.assertThat(this.history.runs).isEmpty();
	}

	@Test
	void orderIsNotRunAgainAfterHolderCrashesBeforeRecording() {
		// The target has run the order, but the node crashes before the answer is
		// recorded.
		call(1);
		runUntil(() -> this.history.runs.size() == 1);
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::updateLiveNodes);
		Call second = call(1);
		runForSeconds(5);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
		Assertions.assertThat(this.history.runs).hasSize(1);
	}

	@Test
	void grantReceivedAfterRestartDoesNotReleaseClaim() {
		// A node crashes after its order ran. A late duplicate of the grant reaches
		// the restarted node, which takes it for the grant of an abandoned request.
		// If the node released the claim, the order could run a second time.
		Call first = call(1);
		runUntil(() -> this.history.runs.size() == 1);
		String mark = first.request.identifier().toString();
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::updateLiveNodes);
		this.history.handleEvent(node(1), new PeerEvent.MessageReceived(owner().identity(),
				new OrderClaimReply(KEY, mark, OrderClaimDecision.GRANTED, Optional.empty())));
		runForSeconds(5);
		Call second = call(2);
		runForSeconds(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
		Assertions.assertThat(this.history.runs).hasSize(1);
	}

	@Test
	void tooLargeAnswerIsNotRecorded() {
		this.history.answerPrefix = "x".repeat(OrderPolicy.standard().largestAnswer());
		call(1);
		runForSeconds(3);
		Call second = call(2);
		runForSeconds(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void settlementIsNotConfirmedByOwnerWithoutTheClaim() {
		// A node that can't reach the owner commits a claim itself and runs the
		// order. Its settlement then goes to the owner, which does not know the
		// claim. If the owner confirmed it, the answer would be lost and the claim
		// would be taken for an abandoned one: the order would run a second time.
		OrderNode owner = owner();
		OrderNode other = this.history.nodes.stream().filter((node) -> node != owner).findFirst().orElseThrow();
		this.history.call(owner, new OrderKey(1, 2), "a");
		runForSeconds(3);
		other.updateLiveNodes(List.of(other.identity()));
		Call first = this.history.call(other, KEY, "a");
		runUntil(() -> first.cleared == 1);
		this.history.updateLiveNodes(other);
		runForSeconds(4);
		Call second = this.history.call(owner, KEY, "a");
		runForSeconds(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Replayed.class);
	}

	@Test
	void pausedOwnerReadsPagesBeforeWriting() {
		// An owner knows page 1 and is paused for longer than keys are retained.
		// Meanwhile page 2 has been written, has expired and been deleted; page 3
		// contains the key. Creating page 2 again would succeed and grant the key a
		// second time.
		OrderClaim recorded = recorded(new OrderKey(1, 2));
		put(new OrderShard(0, 1, true, HashTreePMap.singleton(recorded.key(), recorded), "w1"));
		OrderNode owner = owner();
		this.history.call(owner, recorded.key(), "a");
		runForSeconds(1);
		Assertions.assertThat(owner.state().shards()).hasSize(1);
		owner.pause();
		put(new OrderShard(0, 3, false, HashTreePMap.singleton(KEY, recorded(KEY)), "w3"));
		runForSeconds(120);
		owner.run(owner.incarnation(), () -> this.history.call(owner, KEY, "a"));
		this.history.resume(owner);
		runForSeconds(5);
		Assertions.assertThat(this.history.runs).isEmpty();
		// The key's run precedes this history, so the checker can't know of it.
		this.history = new OrderHistory(1, 1, OrderPolicies.withShards(1));
	}

	@Test
	void releaseReachesPausedOwnerAfterHolderCrashes() {
		// An owner is paused with a claim in its queue. The caller receives "not
		// run", the release is sent at once, and then the holder crashes. Without
		// the release the claim would belong to a crashed node, and the caller's
		// next call would be answered "unknown" for an order that never ran.
		Assertions.assertThat(nextOutcomeAfterOwnerPause(0)).contains(new RequestOutcome.Completed());
	}

	@Test
	void timedOutClaimIsNotCommittedAfterPause() {
		// As above, but the release is lost when the holder crashes. The owner
		// itself must detect that the claim in its queue is older than any caller
		// waits.
		Assertions.assertThat(nextOutcomeAfterOwnerPause(1)).contains(new RequestOutcome.Completed());
	}

	private Optional<RequestOutcome> nextOutcomeAfterOwnerPause(double releaseLost) {
		OrderNode owner = owner();
		OrderNode holder = this.history.nodes.stream().filter((node) -> node != owner).findFirst().orElseThrow();
		this.history.platform.down(true);
		this.history.call(holder, KEY, "a");
		runForSeconds(0.3);
		owner.pause();
		this.history.faults.messageLost = releaseLost;
		runForSeconds(4);
		this.history.restart(holder);
		this.history.faults.clear();
		this.history.platform.down(false);
		this.history.resume(owner);
		this.history.nodes.forEach(this.history::updateLiveNodes);
		runForSeconds(8);
		Call next = this.history.call(holder, KEY, "a");
		runForSeconds(5);
		return next.outcome();
	}

	@Test
	void fullShardRefusesAsNotRun() {
		this.history = new OrderHistory(1, 3, OrderPolicies.withRetention(1, Duration.ofHours(6), 5));
		List<Call> calls = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			calls.add(this.history.call(node(1), new OrderKey(1, i), "a"));
			runForSeconds(1);
		}
		Assertions.assertThat(this.history.runs).hasSize(5);
		Assertions.assertThat(refusal(calls.get(7)).reason()).isEqualTo(RefusalReason.ORDER_STORE_UNAVAILABLE);
	}

	@Test
	void pagesWithLargeAnswersStayBelowAMegabyte() throws JsonProcessingException {
		this.history.answerPrefix = "\u0001".repeat(OrderPolicy.standard().largestAnswer() - 10);
		for (int i = 0; i < 300; i++) {
			this.history.call(node(1 + i % 3), new OrderKey(1, i), "a");
		}
		runForSeconds(30);
		Assertions.assertThat(this.history.runs).hasSize(300);
		for (StoredObject page : pages()) {
			Assertions.assertThat(ModelJson.json().writeValueAsBytes(page.value())).hasSizeLessThan(900 * 1024);
		}
	}

	@Test
	void wrongWallClockDoesNotExpireKeys() {
		// The nodes' wall clocks differ by hours, more than the retention time. If a
		// key expired by another node's clock, its order could run a second time.
		this.history = new OrderHistory(1, 3, OrderPolicies.withRetention(1, Duration.ofMinutes(30), 20_000));
		this.history.answerPrefix = "x".repeat(8000);
		for (int i = 0; i < 20; i++) {
			this.history.call(node(1 + i % 3), new OrderKey(1, i), "a");
		}
		runForSeconds(25 * 60);
		Call second = this.history.call(node(3), new OrderKey(1, 0), "a");
		runForSeconds(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Replayed.class);
	}

	@Test
	void expiredPagesAreDeleted() {
		this.history = new OrderHistory(1, 3, OrderPolicies.withRetention(1, Duration.ofMinutes(30), 20_000));
		this.history.answerPrefix = "x".repeat(8000);
		for (int i = 0; i < 20; i++) {
			this.history.call(node(1 + i % 3), new OrderKey(1, i), "a");
		}
		runForSeconds(60);
		Assertions.assertThat(pages()).hasSizeGreaterThan(2);
		runForSeconds(40 * 60);
		Assertions.assertThat(pages()).hasSize(1);
	}

	@Test
	void issuedNumberIsServedWhilePlatformIsDown() {
		this.history.platform.down(true);
		OrderKey issued = issuedBy(node(1));
		Call first = this.history.call(node(2), issued, "a");
		runForSeconds(3);
		Call second = this.history.call(node(3), issued, "a");
		runForSeconds(3);
		Assertions.assertThat(first.outcome()).contains(new RequestOutcome.Completed());
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Replayed.class);
	}

	@Test
	void issuedNumberOfCrashedNodeIsNeverGranted() {
		// The issuer kept the claim in memory only and has crashed. Any other node
		// that granted the number could run the order a second time.
		OrderKey issued = issuedBy(node(1));
		this.history.call(node(2), issued, "a");
		runForSeconds(3);
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::updateLiveNodes);
		Call second = this.history.call(node(2), issued, "a");
		runForSeconds(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void issuedNumberIsNotGrantedAfterItsLifetime() {
		OrderKey issued = issuedBy(node(1));
		this.history.call(node(2), issued, "a");
		runForSeconds(2 * 60 * 60);
		Assertions.assertThat(node(1).state().issued()).isEmpty();
		Call second = this.history.call(node(2), issued, "a");
		runForSeconds(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	private Call call(int node) {
		return this.history.call(node(node), KEY, "a");
	}

	private OrderNode node(int number) {
		return this.history.nodes.get(number - 1);
	}

	private OrderNode owner() {
		OrderNode any = node(1);
		List<OrderNode> nodes = this.history.nodes;
		return nodes.stream().filter((node) -> any.ownerOf(0).equals(node.identity())).findFirst().orElseThrow();
	}

	private OrderKey issuedBy(OrderNode node) {
		Instant clock = node.clock(this.history.now());
		return OrderNumbers.encodeOrigin(KEY, OrderNumbers.issue(node.incarnation(), clock, 7));
	}

	private void runForSeconds(double seconds) {
		this.history.runFor(Duration.ofMillis((long) (seconds * 1000)));
	}

	private void runUntil(BooleanSupplier condition) {
		for (int i = 0; i < 10_000 && !condition.getAsBoolean(); i++) {
			this.history.runFor(Duration.ofMillis(1));
		}
		Assertions.assertThat(condition.getAsBoolean()).isTrue();
	}

	private List<StoredObject> pages() {
		PlatformAnswer answer = this.history.platform
			.look(new PlatformRequest.ListObjects(ObjectKind.ORDER_SHARD, "", 1000));
		return ((PlatformAnswer.Listed) answer).objects();
	}

	private void put(OrderShard page) {
		this.history.platform.look(new PlatformRequest.Create(ShardPlacement.pageKey(page.shard(), page.page()), page));
	}

	private static OrderClaim recorded(OrderKey key) {
		return new OrderClaim(key, new Fingerprint("a"), NodeIncarnation.of(NodeName.of("n9"), 1), "n9-1-r1",
				OrderStatus.RECORDED, Optional.of(new RecordedAnswer(200, "text/plain", "earlier")), 0);
	}

	private static Refusal refusal(Call call) {
		RequestOutcome outcome = call.outcome().orElseThrow();
		if (outcome instanceof RequestOutcome.Unknown unknown) {
			return unknown.refusal();
		}
		return ((RequestOutcome.NotRun) outcome).refusal();
	}

}
