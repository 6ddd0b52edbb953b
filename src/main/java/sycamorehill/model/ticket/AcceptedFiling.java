package sycamorehill.model.ticket;

import sycamorehill.model.identity.FilingIdentifier;

/**
 * A filing that was accepted as a ticket. Filing it again returns the same ticket number.
 *
 * @param filing the identifier that the operator chose
 * @param number the number of the ticket
 */
public record AcceptedFiling(FilingIdentifier filing, long number) {
}
