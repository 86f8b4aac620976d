package org.lentilhinge.tools;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.CompletionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.configuration.EntrySection;

/** Shows the status of a running entry host. */
public final class StatusTool extends CommandLineTool {

  private static final String ADDRESS = "address";
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int OK = 200;

  /**
   * Creates the tool.
   *
   * @param console the output streams
   */
  public StatusTool(Console console) {
    super("status", "Shows the status of a running entry host as JSON.", "", console);
  }

  @Override
  void addOptions(Options options) {
    options.addOption(
        Option.builder()
            .longOpt(ADDRESS)
            .hasArg()
            .argName("IP:PORT")
            .required(false)
            .desc("the address at which the host listens for callers (required)")
            .get());
  }

  @Override
  int run(CommandLine line) throws ParseException {
    String address = line.getOptionValue(ADDRESS);
    if (address == null) {
      throw new ParseException("--address is missing");
    }
    if (!EntrySection.isAddress(address)) {
      throw new ParseException("--address is not an IP address and port: " + address);
    }
    Vertx vertx = Vertx.vertx();
    try {
      return show(vertx, address);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private int show(Vertx vertx, String address) {
    int colon = address.lastIndexOf(':');
    RequestOptions request =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(address.substring(0, colon).replace("[", "").replace("]", ""))
            .setPort(Integer.parseInt(address.substring(colon + 1)))
            .setURI("/status")
            .setTimeout(TIMEOUT_MILLIS);
    try {
      Buffer body =
          vertx
              .createHttpClient()
              .request(request)
              .compose(
                  httpRequest ->
                      httpRequest
                          .send()
                          .expecting(response -> response.statusCode() == OK)
                          .compose(HttpClientResponse::body))
              .toCompletionStage()
              .toCompletableFuture()
              .join();
      console().out().println(body.toJsonObject().encodePrettily());
      return ExitCode.DONE;
    } catch (CompletionException exception) {
      return reportFailure(
          ExitCode.UNAVAILABLE,
          address + " returned no status: " + exception.getCause().getMessage());
    }
  }
}
