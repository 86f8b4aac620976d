/** Tests of customer quotas. */
package org.lentilhinge.allowance;
