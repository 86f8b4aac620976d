/**
 * The declared configuration: adapters, callers, rules, endpoints, budgets and policy. A {@link
 * org.lentilhinge.configuration.Configuration} is the complete desired state and is applied
 * completely or not at all.
 */
package org.lentilhinge.configuration;
