package sycamorehill.entry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Numbers the requests without a final answer, and finds them by their numbers.
 */
final class ExchangeRegistry {

	private final Map<Long, RunningExchange> exchanges = new HashMap<>();

	private long lastNumber;

	private ExchangeRegistry() {
	}

	static ExchangeRegistry create() {
		return new ExchangeRegistry();
	}

	long nextNumber() {
		this.lastNumber++;
		return this.lastNumber;
	}

	void add(RunningExchange exchange) {
		this.exchanges.put(exchange.number(), exchange);
	}

	void remove(RunningExchange exchange) {
		this.exchanges.remove(exchange.number());
	}

	/**
	 * Finds a request.
	 * @param <T> type of the request
	 * @param number the number of the request
	 * @param type type of the request
	 * @return the request; empty if it has ended
	 */
	<T extends RunningExchange> Optional<T> find(long number, Class<T> type) {
		return Optional.ofNullable(this.exchanges.get(number)).map(type::cast);
	}

	/**
	 * Returns the identifiers of all requests of a type, in the order of their arrival.
	 * @param type type of the requests
	 * @return the callers' identifiers
	 */
	List<String> identifiers(Class<? extends RunningExchange> type) {
		return this.exchanges.values()
			.stream()
			.filter(type::isInstance)
			.sorted(Comparator.comparingLong(RunningExchange::number))
			.map(RunningExchange::identifier)
			.toList();
	}

}
