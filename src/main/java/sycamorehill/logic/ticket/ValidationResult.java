package sycamorehill.logic.ticket;

import java.util.List;

import sycamorehill.model.ticket.AppliedItem;

/**
 * What is wrong with a ticket.
 *
 * @param faults every fault found, empty for a ticket that may be accepted
 * @param currentItems the present state of the items that another ticket has changed
 */
public record ValidationResult(List<String> faults, List<AppliedItem> currentItems) {
}
