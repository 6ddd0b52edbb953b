package sycamorehill.logic.ticket;

import java.util.List;

import sycamorehill.model.ticket.AppliedItem;

/**
 * The result of validating a ticket.
 *
 * @param faults all faults found, empty for a valid ticket
 * @param currentItems the current state of the items that another ticket has changed
 * since the operator read them
 */
public record ValidationResult(List<String> faults, List<AppliedItem> currentItems) {
}
