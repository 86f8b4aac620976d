package org.lentilhinge.booking;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the Cucumber scenarios of bookings. */
@CucumberOptions(
    features = "classpath:org/lentilhinge/booking",
    glue = "org.lentilhinge.booking",
    publish = false)
public class BookingScenariosTest extends AbstractTestNGCucumberTests {}
