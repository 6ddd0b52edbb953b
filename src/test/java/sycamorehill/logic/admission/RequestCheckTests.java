package sycamorehill.logic.admission;

import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Handling;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;

import static org.assertj.core.api.Assertions.assertThat;

class RequestCheckTests {

	private static final RequestDescription CHAT = Requests.chat(1, "large", Instant.EPOCH);

	private final FakeView view = FakeView.of("n", "one")
		.with(Requests.CHAT_SERVICE, Requests.DESK_SERVICE, Requests.workspace("large", 10, 10, 1));

	@Test
	void aNodeWithoutTruthIsNotReady() {
		assertThat(reason(CHAT, FakeView.of("n", "one"))).contains(RefusalReason.NODE_NOT_READY);
	}

	@Test
	void anUnknownKeyIsRefused() {
		assertThat(reason(Requests.chat(1, "stranger", Instant.EPOCH), this.view))
			.contains(RefusalReason.UNAUTHENTICATED);
	}

	@Test
	void anUnknownServiceIsRefused() {
		FakeView without = FakeView.of("n", "one").with(Requests.workspace("large", 10, 10, 1));
		assertThat(reason(CHAT, without)).contains(RefusalReason.UNKNOWN_SERVICE);
	}

	@Test
	void quarantinedContentIsRefused() {
		assertThat(reason(CHAT, this.view.quarantine(new Fingerprint("f1")))).contains(RefusalReason.QUARANTINED);
	}

	@Test
	void aModelServicesCallsAreRepeatable() {
		assertThat(RequestCheck.of(CHAT, this.view).handling()).isEqualTo(Handling.REPEATABLE);
	}

	@Test
	void aPlainCallWithoutRuleIsSentOnce() {
		RequestDescription order = Requests.order(1, "large", "POST", Optional.empty());
		assertThat(RequestCheck.of(order, this.view).handling()).isEqualTo(Handling.ONCE_WITHOUT_KEY);
	}

	@Test
	void aPlainCallWithKeyIsClaimedFirst() {
		RequestDescription order = Requests.order(1, "large", "POST", Optional.of(new OrderKey(1, 2)));
		assertThat(RequestCheck.of(order, this.view).handling()).isEqualTo(Handling.ONCE_WITH_KEY);
	}

	@Test
	void aPlainCallThatItsServiceCallsIdempotentIsRepeatable() {
		RequestDescription order = Requests.order(1, "large", "GET", Optional.empty());
		assertThat(RequestCheck.of(order, this.view).handling()).isEqualTo(Handling.REPEATABLE);
	}

	private static Optional<RefusalReason> reason(RequestDescription request, FakeView view) {
		return RequestCheck.of(request, view).refusal().map((refusal) -> refusal.reason());
	}

}
