package sycamorehill.model.ticket;

import sycamorehill.model.identity.FilingIdentifier;

/**
 * A filing that has become a ticket: filing it again gives the same number.
 *
 * @param filing the filer's identifier
 * @param number the ticket
 */
public record AcceptedFiling(FilingIdentifier filing, long number) {
}
