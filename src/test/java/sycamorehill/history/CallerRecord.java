package sycamorehill.history;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.request.TokenRelay;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;

/**
 * What one caller sent, got and was told.
 */
final class CallerRecord {

	static final int TOKENS = 12;

	final RequestDescription request;

	final Idempotency handling;

	final List<String> tokens = new ArrayList<>();

	final List<RequestOutcome> outcomes = new ArrayList<>();

	TokenRelay relay = TokenRelay.create();

	Instant lastByteAt = Instant.EPOCH;

	boolean nodeDied;

	boolean foreign;

	CallerRecord(RequestDescription request, Idempotency handling) {
		this.request = request;
		this.handling = handling;
	}

	String content() {
		return this.request.fingerprint().value();
	}

	boolean completed() {
		return this.outcomes.equals(List.of(new RequestOutcome.Completed()));
	}

	boolean open() {
		return this.outcomes.isEmpty() && !this.nodeDied;
	}

	static String token(String content, int index) {
		return content + ":" + index;
	}

	List<String> expected() {
		List<String> all = new ArrayList<>();
		for (int index = 0; index < TOKENS; index++) {
			all.add(token(content(), index));
		}
		return all;
	}

}
