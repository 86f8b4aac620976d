/** Customer quotas: what each customer uses over all hosts, and which requests exceed its quota. */
package org.lentilhinge.allowance;
