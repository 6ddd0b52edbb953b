package sycamorehill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.http.HttpAnswer;

/**
 * Shows where a ticket is in force.
 */
@Command(name = "show", description = "Where a ticket is in force, since when, and where not yet and why")
public final class TicketShowCommand extends NodeCommand {

	private static final int OK = 200;

	@Arguments(title = "NUMBER", description = "The ticket's number")
	@Required
	private long number;

	@Override
	public int run() throws Exception {
		HttpAnswer answer = get("/operator/tickets/" + this.number);
		if (answer.status() != OK) {
			throw CommandException.of(ExitCode.NOT_KNOWN, tree(answer).path("detail").asText());
		}
		JsonNode force = tree(answer);
		print(answer, () -> printText(force));
		return ExitCode.DONE;
	}

	private static void printText(JsonNode force) {
		System.out.println("ticket " + force.path("number").asLong());
		for (JsonNode dataCentre : force.path("dataCentres")) {
			System.out.printf("%-16s in force on %d of %d nodes%s%n", dataCentre.path("dataCentre").asText(),
					dataCentre.path("nodesInForce").asInt(), dataCentre.path("nodesKnown").asInt(),
					dataCentre.path("inForceSince").isNull() ? ""
							: " since " + dataCentre.path("inForceSince").asText());
			dataCentre.path("missing").forEach((missing) -> System.out.println("  missing: " + missing.asText()));
		}
	}

}
