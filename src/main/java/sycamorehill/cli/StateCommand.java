package sycamorehill.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import sycamorehill.http.HttpAnswer;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.operator.StateBody;

/**
 * Prints the current truth.
 */
@Command(name = "state",
		description = "The current truth: every service, model group and workspace, each with the ticket that set it")
public final class StateCommand extends NodeCommand {

	private static final int OK = 200;

	@Option(name = "--at", title = "NUMBER",
			description = "The truth after this ticket, while the node keeps its history")
	private long at = -1;

	@Override
	public int run() throws Exception {
		HttpAnswer answer = get("/operator/state" + ((this.at < 0) ? "" : "?at=" + this.at));
		if (answer.status() != OK) {
			throw CommandException.of(ExitCode.REFUSED, tree(answer).path("detail").asText());
		}
		print(answer, () -> printText(value(answer, StateBody.class)));
		return ExitCode.DONE;
	}

	private static void printText(StateBody state) {
		System.out.println("in force: ticket " + state.number());
		for (AppliedItem item : state.items()) {
			System.out.printf("%-12s %-30s set by ticket %d%n", item.item().key().kind(), item.item().key().name(),
					item.setBy());
		}
	}

}
