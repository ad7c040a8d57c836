use super::*;

const MAX_LINE: usize = 16;

/// Decodes bytes that arrive in pieces of one length, up to the first line that is too long.
fn decode_in_pieces(bytes: &[u8], length: usize) -> (Vec<Vec<u8>>, Result<(), LineTooLong>) {
    let (mut decoder, mut lines) = (LineDecoder::new(MAX_LINE), Vec::new());
    for piece in bytes.chunks(length) {
        decoder.push(piece);
        loop {
            match decoder.next_line() {
                Ok(Some(line)) => lines.push(line.to_vec()),
                Ok(None) => break,
                Err(e) => return (lines, Err(e)),
            }
        }
        assert!(decoder.buffer.len() < MAX_LINE, "only an incomplete line is kept");
    }
    (lines, Ok(()))
}

#[test]
fn lines_are_decoded_however_they_are_split() {
    let bytes = b"one\n\nfifteen bytes..\nx\n";
    let expected = [&b"one"[..], b"", b"fifteen bytes..", b"x"].map(<[u8]>::to_vec);
    for length in 1..=bytes.len() {
        assert_eq!(decode_in_pieces(bytes, length), (expected.to_vec(), Ok(())), "pieces of {length}");
    }
}

#[test]
fn line_beyond_the_limit_is_an_error_whether_or_not_it_is_complete() {
    for bytes in [&b"one\nsixteen bytes...\n"[..], b"one\nsixteen bytes..."] {
        for length in 1..=bytes.len() {
            assert_eq!(
                decode_in_pieces(bytes, length),
                (vec![b"one".to_vec()], Err(LineTooLong)),
                "{length}"
            );
        }
    }
}

// Guards against bytes that are searched again with each read.
#[test]
fn searched_bytes_are_not_searched_again() {
    let mut decoder = LineDecoder::new(MAX_LINE);
    for n in 1..MAX_LINE {
        decoder.push(b"x");
        assert_eq!(decoder.next_line(), Ok(None));
        assert_eq!(decoder.searched, n);
    }
}
