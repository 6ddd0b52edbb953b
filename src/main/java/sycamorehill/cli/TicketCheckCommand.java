package sycamorehill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.http.HttpAnswer;
import sycamorehill.json.ModelJson;
import sycamorehill.logic.ticket.TicketValidator;
import sycamorehill.logic.ticket.ValidationResult;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.operator.StateBody;

/**
 * Validates a ticket without filing it.
 */
@Command(name = "check", description = "Validates a ticket against a node's present state without filing it")
public final class TicketCheckCommand extends NodeCommand {

	private static final int OK = 200;

	@Arguments(title = "FILE", description = "The ticket in JSON")
	@Required
	private String file;

	@Override
	public int run() throws Exception {
		TicketDraft draft = read();
		HttpAnswer answer = get("/operator/state");
		if (answer.status() != OK) {
			throw CommandException.of(ExitCode.NOT_KNOWN, tree(answer).path("detail").asText());
		}
		StateBody state = value(answer, StateBody.class);
		ValidationResult result = TicketValidator.validate(draft, DesiredState.of(state.number(), state.items()));
		if (result.faults().isEmpty()) {
			System.out.println("sound: against the state after ticket " + state.number());
			return ExitCode.DONE;
		}
		System.out.println("faults:");
		result.faults().forEach((fault) -> System.out.println("  " + fault));
		return ExitCode.REFUSED;
	}

	private TicketDraft read() {
		try {
			return ModelJson.json().readValue(Files.readString(Path.of(this.file)), TicketDraft.class);
		}
		catch (JsonProcessingException ex) {
			throw CommandException.of(ExitCode.BAD_USAGE, "the ticket can't be read: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw CommandException.of(ExitCode.BAD_USAGE, "the ticket file can't be read: " + ex.getMessage());
		}
	}

}
