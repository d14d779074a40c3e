package org.guavapath.core.results

/** A peer violated the protocol between daemons. */
public sealed class PeerCode(
    number: Int,
    label: String,
    status: HttpStatus,
    sentence: String,
) : ResultCode(number, label, status, RunOutcome.NOT_RUN, sentence) {
    /** A peer's frame is larger than allowed. */
    public data object FrameTooLarge : PeerCode(
        number = 6001,
        label = "frame-too-large",
        status = HttpStatus.CONTENT_TOO_LARGE,
        sentence = "A peer's frame is too large.",
    )

    /** A peer uses another protocol version. */
    public data object PeerVersion : PeerCode(
        number = 6002,
        label = "peer-version",
        status = HttpStatus.BAD_REQUEST,
        sentence = "A peer speaks another version.",
    )

    /** A peer failed to prove that it knows the shared secret. */
    public data object PeerUnproven : PeerCode(
        number = 6003,
        label = "peer-unproven",
        status = HttpStatus.FORBIDDEN,
        sentence = "A peer did not prove the shared secret.",
    )

    /** A peer's frame could not be decoded. */
    public data object FrameMalformed : PeerCode(
        number = 6004,
        label = "frame-malformed",
        status = HttpStatus.BAD_REQUEST,
        sentence = "A peer's frame is malformed.",
    )
}
