/**
 * One attempt on the wire: tracks whether it was sent, and checks that its
 * response belongs to it and is complete.
 */
import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import { clearTimeout, setTimeout } from "node:timers";
import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import {
  ATTEMPT_ID_HEADER,
  createFailure,
  NOT_STARTED_HEADER,
} from "../../domain/index.ts";
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
} from "../../ports/index.ts";
import {
  flattenHeaders,
  isTruncationDetectable,
  omitHopByHopHeaders,
} from "./headers.ts";

const INVALID_REQUEST_CODE = "UND_ERR_INVALID_ARG";

/**
 * Handles the undici events of one attempt. undici calls `onRequestStart` just
 * before it writes the first byte. A failure before that call therefore proves
 * that nothing was sent; after it, a failure leaves the outcome unknown.
 */
export class AttemptExchange implements Dispatcher.DispatchHandler {
  /** Resolves with the response head and body stream, or with the failure. */
  readonly result: Promise<Result<AttemptAnswer, AttemptFailure>>;
  readonly #attempt: Attempt;
  readonly #leaseTimer: NodeJS.Timeout;
  #settle: (result: Result<AttemptAnswer, AttemptFailure>) => void = () => {};
  #controller: Dispatcher.DispatchController | undefined;
  #abortReason: Error | undefined;
  #hasStarted = false;
  #body: Readable | undefined;

  /** @param attempt - The attempt; its lease starts now. */
  constructor(attempt: Attempt) {
    this.#attempt = attempt;
    this.result = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#leaseTimer = setTimeout(
      () =>
        this.#abort(
          new Error("no complete response within the attempt's lease"),
        ),
      Math.max(1, Math.ceil(attempt.leaseMs)),
    );
    attempt.signal.addEventListener("abort", this.#onCancel, { once: true });
    if (attempt.signal.aborted) {
      this.#onCancel();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortReason !== undefined) {
      controller.abort(this.#abortReason);
      return;
    }
    if (this.#hasStarted) {
      // undici requeues a request after some connection resets, but an attempt
      // must not be sent twice.
      controller.abort(new Error("the connection was reset after sending"));
      return;
    }
    this.#hasStarted = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    rawHeaders: IncomingHttpHeaders,
  ): void {
    if (status < 200) {
      return;
    }
    const headers = flattenHeaders(rawHeaders);
    if (headers[ATTEMPT_ID_HEADER] !== this.#attempt.attemptId) {
      // Later responses on this connection would be mismatched as well, so the
      // connection is closed.
      controller.abort(new Error("the response belongs to another attempt"));
      return;
    }
    if (headers[NOT_STARTED_HEADER] === "true") {
      this.#settle(
        Result.err(this.#createNotStartedFailure("refused the attempt")),
      );
      return;
    }
    if (!isTruncationDetectable(this.#attempt.method, status, headers)) {
      controller.abort(
        new Error(
          "the response has neither a content-length nor chunked encoding, so a truncated body could not be detected",
        ),
      );
      return;
    }
    this.#body = this.#createBody(controller);
    this.#settle(
      Result.ok({
        status,
        headers: omitHopByHopHeaders(headers),
        body: this.#body,
      }),
    );
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#body !== undefined && !this.#body.push(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    this.#clearAbortSources();
    this.#controller = undefined;
    this.#body?.push(null);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#clearAbortSources();
    this.#controller = undefined;
    this.#body?.destroy(error);
    this.#settle(Result.err(this.#toAttemptFailure(error)));
  }

  readonly #onCancel = () => {
    this.#abort(new Error("the caller disconnected"));
  };

  #abort(reason: Error): void {
    this.#abortReason ??= reason;
    if (this.#hasStarted) {
      this.#controller?.abort(reason);
      return;
    }
    // The request is still queued or connecting. `onRequestStart` aborts it
    // before it is sent.
    this.#clearAbortSources();
    const kind = this.#attempt.signal.aborted ? "cancelled" : "expired";
    this.#settle(
      Result.err({
        failure: createFailure(kind, `${reason.message}; nothing was sent`),
        notStarted: true,
      }),
    );
  }

  #clearAbortSources(): void {
    clearTimeout(this.#leaseTimer);
    this.#attempt.signal.removeEventListener("abort", this.#onCancel);
  }

  #createBody(controller: Dispatcher.DispatchController): Readable {
    const body = new Readable({
      read: () => controller.resume(),
      destroy: (error, done) => {
        this.#controller?.abort(
          error ?? new Error("the response body was discarded"),
        );
        done(error);
      },
    });
    // A reader gets the error from the iterator. Without a reader, an unhandled
    // error event would end the process.
    return body.on("error", () => undefined);
  }

  #toAttemptFailure(error: Error): AttemptFailure {
    const code = "code" in error ? String(error.code) : error.message;
    if (this.#hasStarted) {
      return {
        failure: createFailure(
          "outcomeUnknown",
          `${this.#formatAddress()}: ${error.message}`,
          {
            remedy: "check whether the work has run before sending it again",
          },
        ),
        notStarted: false,
      };
    }
    return code === INVALID_REQUEST_CODE
      ? {
        failure: createFailure("invalidInput", error.message),
        notStarted: true,
      }
      : this.#createNotStartedFailure(`cannot be reached: ${code}`);
  }

  #createNotStartedFailure(problem: string): AttemptFailure {
    return {
      failure: createFailure(
        "noBackendServer",
        `${this.#formatAddress()} ${problem}`,
      ),
      notStarted: true,
    };
  }

  #formatAddress(): string {
    return `${this.#attempt.host}:${this.#attempt.port}`;
  }
}
