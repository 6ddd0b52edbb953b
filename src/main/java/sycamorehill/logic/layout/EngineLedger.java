package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import sycamorehill.model.identity.TargetName;

/**
 * What the controller knows of the engines' counts of orders. Each order names the count
 * that it expects: an order whose answer was lost may be carried out seconds later, and
 * any newer order that was accepted makes it void.
 */
final class EngineLedger {

	/** Time after which an unanswered call is taken as lost. */
	static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1200);

	/** Pause before an engine is asked again after a call to it failed. */
	private static final Duration ASK_AGAIN = Duration.ofMillis(300);

	private final Map<TargetName, Account> accounts = new HashMap<>();

	private EngineLedger() {
	}

	static EngineLedger create() {
		return new EngineLedger();
	}

	/**
	 * Whether an engine may be called now.
	 * @param name the engine
	 * @param now the present time
	 * @return false while an answer is awaited, or shortly after a failure
	 */
	boolean free(TargetName name, Instant now) {
		Account account = this.accounts.get(name);
		return account == null || !now.isBefore(account.busyUntil);
	}

	OptionalLong ordersAccepted(TargetName name, long bornMillis) {
		Account account = this.accounts.get(name);
		return (account == null || account.bornMillis != bornMillis) ? OptionalLong.empty() : account.ordersAccepted;
	}

	void called(TargetName name, Instant now) {
		account(name).busyUntil = now.plus(ANSWER_TIMEOUT);
	}

	void accepted(TargetName name) {
		Account account = account(name);
		account.busyUntil = Instant.MIN;
		if (account.ordersAccepted.isPresent()) {
			account.ordersAccepted = OptionalLong.of(account.ordersAccepted.getAsLong() + 1);
		}
	}

	/**
	 * Notes that an order holds without having begun now. Whether it was counted is not
	 * known: an order to leave takes effect at once, is counted and answered in this way.
	 * Taken as not counted, the next order to join would be refused, and a repair delayed
	 * by another round. The count is asked for instead.
	 * @param name the engine
	 */
	void held(TargetName name) {
		Account account = account(name);
		account.ordersAccepted = OptionalLong.empty();
		account.busyUntil = Instant.MIN;
	}

	void uncertain(TargetName name, Instant now) {
		Account account = account(name);
		account.ordersAccepted = OptionalLong.empty();
		account.busyUntil = now.plus(ASK_AGAIN);
	}

	void read(TargetName name, long bornMillis, long ordersAccepted) {
		Account account = account(name);
		account.bornMillis = bornMillis;
		account.ordersAccepted = OptionalLong.of(ordersAccepted);
		account.busyUntil = Instant.MIN;
	}

	/** Forgets all counts: another controller may have given orders meanwhile. */
	void clear() {
		this.accounts.clear();
	}

	private Account account(TargetName name) {
		return this.accounts.computeIfAbsent(name, (key) -> new Account());
	}

	/**
	 * What is known of one engine.
	 */
	private static final class Account {

		private long bornMillis;

		private OptionalLong ordersAccepted = OptionalLong.empty();

		private Instant busyUntil = Instant.MIN;

	}

}
