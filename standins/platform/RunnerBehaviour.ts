/** How the stand-in treats one request; without a behaviour it answers the request normally. */
export type RunnerBehaviour =
    /** Answers 503 with the header that confirms that the request was not executed. */
    | "full"
    /** Like `full`, with a `Retry-After` of one second. */
    | "refuse"
    /** Answers normally and states in the answer that it is leaving. */
    | "leave"
    /** Executes the request and answers 500. */
    | "fail"
    /** Executes the request and resets the connection without an answer. */
    | "lose"
    /** Executes the request and answers with the attempt ID of another request. */
    | "mixed"
    /** Answers and then sends an unrequested second response on the same connection. */
    | "extra"
    /** Executes the request, and before its answer writes a refusal of an earlier request, with the id of that one. */
    | "repeat-refusal"
    /** Like `repeat-refusal`, with a refusal that bears no id. */
    | "repeat-refusal-without-id"
    /** Executes the request, and before its answer writes a success that nobody asked for and that bears no id. */
    | "stray-success"
    /** Resets the connection in the middle of the third event of a stream. */
    | "break"
    /** Sends its answer with neither a length nor chunks, complete. */
    | "unframed"
    /** Like `unframed`, but closes the connection regularly in the middle of the third event of a stream. */
    | "unframed-close"
    /** Like `unframed`, but resets the connection in the middle of the third event of a stream or of the body. */
    | "unframed-reset"
    /** Like `unframed`, but closes the connection regularly before the first event of a stream. */
    | "unframed-empty"
    /** Like `unframed`, but writes an error's head and text in the middle of the third event of a stream, and closes. */
    | "unframed-error"
    /** Answers 500 with an event that tells of the error. */
    | "error-event"
    /** Answers 500 with a text of neither a type nor a length, and closes. */
    | "error-unframed"
    /** Answers 200 with an error's text of no type. */
    | "error-untyped"
    /** Answers 200 with an error's text of no type, which ends like an event. */
    | "error-untyped-block"
    /** Ends a chunked stream regularly in the middle of its third event. */
    | "chunked-end"
    /** Closes the connection regularly in the middle of the third event of a chunked stream that announced the close. */
    | "chunked-close"
    /** Answers a request for a stream with one JSON body. */
    | "document"
    /** Sends bytes that are no answer without end, in place of a head. */
    | "endless-head"
    /** Sends interim heads without end. */
    | "endless-interim"
    /** Sends a body without end. */
    | "endless-body"
    /** Sends one event without end. */
    | "endless-event"
    /** Sends a body without end, in chunks of a few bytes. */
    | "endless-chunks"
    /** Sends one event without end, in chunks of a few bytes. */
    | "endless-event-chunks"
    /** Sends lines that are no events without end, each followed by a blank line. */
    | "endless-lines"
    /** Sends comments of an event stream without end. */
    | "endless-comments"
    /** Sends the same event without end. */
    | "endless-repeated-events"
    /** Sends an event without end, in chunks of one byte. */
    | "endless-one-byte-chunks"
    /** Sends empty lines without end, in place of a head. */
    | "endless-empty-lines"
    /** Sends a head of short header lines without end. */
    | "endless-short-headers"
    /** Sends a status line without end. */
    | "endless-status"
    /** Sends an extension of a chunk without end. */
    | "endless-extension"
    /** Sends zeros without end in place of a chunk's size. */
    | "endless-size"
    /** Sends short trailers without end. */
    | "endless-trailers"
    /** States that the request was not executed, with a body without end. */
    | "endless-refusal"
    /** Executes the request and never answers. */
    | "hang"
    /** Sends two events of a stream and then nothing, with the connection left open. */
    | "stall"
    /** Sends two events of a stream, then nothing for a time, and then the others. */
    | "pause"
    /** Begins a stream and crashes at its first event. */
    | "crash";
