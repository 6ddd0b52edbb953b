package sycamorehill.cli;

import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import sycamorehill.load.CallOutcome;
import sycamorehill.load.LoadReport;
import sycamorehill.local.LocalSystem;
import sycamorehill.model.identity.Address;
import sycamorehill.model.ticket.DataCentreRollout;
import sycamorehill.model.ticket.TicketRollout;
import sycamorehill.runtime.Node;

/**
 * Runs the whole system in one process.
 */
@Command(name = "local",
		description = "The whole system in one process on loopback: three data centres of two nodes, with stand-ins")
public final class LocalCommand implements ServingCommand {

	@Option(name = "--run-for", title = "DURATION",
			description = "Drives a small load for an ISO 8601 duration such as PT20S, prints a report and ends")
	private String runFor = "";

	@Option(name = "--chats", title = "NUMBER", description = "Completions a second of the load (30)")
	private double chatsPerSecond = 30;

	@Option(name = "--orders", title = "NUMBER", description = "Orders a second of the load (10)")
	private double ordersPerSecond = 10;

	@Option(name = "--seed", title = "NUMBER", description = "Seed of the load (1)")
	private long seed = 1;

	@Override
	public int serve(ServingProcess process) throws Exception {
		Duration duration = duration();
		process.signals().ignoreReload();
		CompletableFuture<Optional<Integer>> end = new CompletableFuture<>();
		process.signals().onStop(() -> end.complete(Optional.empty()));
		try (LocalSystem system = LocalSystem.start()) {
			process.end()
				.setRequestsInFlight(
						() -> system.nodes().stream().flatMap((node) -> node.requestsInFlight().stream()).toList());
			Thread thread = new Thread(() -> completeWith(end, () -> use(system, duration)), "local");
			thread.setDaemon(true);
			thread.start();
			Optional<Integer> exitCode = end.get();
			if (exitCode.isEmpty()) {
				system.nodes().stream().map(Node::stop).toList().forEach(CompletableFuture::join);
			}
			process.end().setCause(exitCode.isEmpty() ? "drained" : "--run-for is over");
			return exitCode.orElse(ExitCode.DONE);
		}
	}

	private static void completeWith(CompletableFuture<Optional<Integer>> end, Callable<Optional<Integer>> work) {
		try {
			work.call().ifPresent((exitCode) -> end.complete(Optional.of(exitCode)));
		}
		catch (Throwable ex) {
			end.completeExceptionally(ex);
		}
	}

	// Returns no exit code if the system stays up until it is told to stop.
	private Optional<Integer> use(LocalSystem system, Duration duration) throws Exception {
		TicketRollout force = system.fileFirstTicket();
		print(force);
		boolean serving = system.awaitServing();
		System.out.println(serving ? "model groups serve" : "model groups do not serve");
		print(system);
		if (duration.isZero()) {
			return Optional.empty();
		}
		LoadReport report = system.load(duration, this.chatsPerSecond, this.ordersPerSecond, this.seed);
		System.out.print(report.text());
		boolean good = LocalSystem.inForce(force) && serving && good(report);
		System.out.println(good ? "everything held" : "something did not hold");
		return Optional.of(good ? ExitCode.DONE : ExitCode.REFUSED);
	}

	private Duration duration() {
		try {
			return this.runFor.isEmpty() ? Duration.ZERO : Duration.parse(this.runFor);
		}
		catch (DateTimeParseException ex) {
			throw CommandException.of(ExitCode.BAD_USAGE,
					"--run-for: expected an ISO 8601 duration such as PT20S, not '" + this.runFor + "'");
		}
	}

	private static boolean good(LoadReport report) {
		return report.violations().isEmpty() && report.chats().getOrDefault(CallOutcome.COMPLETED, 0L) > 0
				&& report.orders().getOrDefault(CallOutcome.COMPLETED, 0L) > 0;
	}

	private static void print(TicketRollout force) {
		for (DataCentreRollout dataCentre : force.dataCentres()) {
			System.out.printf("ticket %d in force in %s on %d of %d nodes%n", force.number(), dataCentre.dataCentre(),
					dataCentre.nodesInForce(), dataCentre.nodesKnown());
		}
	}

	private static void print(LocalSystem system) {
		System.out.println("platform and fault switches: " + system.standIns().platformAddress());
		for (Node node : system.nodes()) {
			System.out.printf("node %-12s callers %s operators %s%n", node.settings().name(),
					node.settings().callerAddress(), node.settings().operatorAddress());
		}
		Address callers = system.nodes().get(0).settings().callerAddress();
		System.out.println("try: curl -N http://" + callers
				+ "/v1/chat/completions -H 'Authorization: Bearer stable-key-1'"
				+ " -d '{\"model\":\"drafting\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'");
		System.out.println(
				"try: curl http://" + callers + "/services/order-desk/orders -H 'Authorization: Bearer stable-key-1'"
						+ " -H 'Idempotency-Key: first' -d '{\"item\":\"hay\"}'");
	}

}
