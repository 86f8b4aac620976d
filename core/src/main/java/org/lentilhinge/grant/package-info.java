/**
 * Grants gateways the use of adapter versions that are resident on an endpoint, and prevents the
 * owner of the endpoint from evicting versions in use.
 *
 * <p>An owner has one {@link org.lentilhinge.grant.GrantLedger} for each endpoint that it owns; a
 * gateway has one {@link org.lentilhinge.grant.GrantCache}.
 */
package org.lentilhinge.grant;
