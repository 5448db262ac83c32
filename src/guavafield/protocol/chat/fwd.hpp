// Forward declarations of the callers' and engines' messages.
#pragma once

namespace guavafield {

class SseParser;
class TokenSequence;
struct ChatRequest;
struct ErrorReply;
struct ResumePoint;
struct StreamChunk;

} // namespace guavafield
