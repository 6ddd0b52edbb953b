package sycamorehill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;

import sycamorehill.http.HttpAnswer;

/**
 * Lists tickets.
 */
@Command(name = "list", description = "The tickets that the node still keeps, newest first")
public final class TicketListCommand extends NodeCommand {

	@Override
	public int run() throws Exception {
		HttpAnswer answer = get("/operator/tickets");
		JsonNode tickets = tree(answer);
		print(answer, () -> tickets.forEach(TicketListCommand::printText));
		return ExitCode.DONE;
	}

	private static void printText(JsonNode ticket) {
		JsonNode draft = ticket.path("draft");
		System.out.printf("%-8d %s %s: %s (%d items)%n", ticket.path("number").asLong(),
				ticket.path("acceptedAt").asText(), draft.path("operator").asText(), draft.path("reason").asText(),
				draft.path("changes").size());
	}

}
