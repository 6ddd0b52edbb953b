package sycamorehill.model.request;

import java.util.Set;

import sycamorehill.model.identity.TargetName;

/**
 * The input for choosing a target.
 *
 * @param request the request
 * @param excluded the targets that have already failed the request
 */
public record RouteQuery(RequestDescription request, Set<TargetName> excluded) {

}
