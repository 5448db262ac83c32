// Reading of stream chunks and the sequence check.
#include <guavafield/protocol/chat/stream_chunk.hpp>

#include <boost/json/parse.hpp>

namespace guavafield {

namespace internal {

std::string textOf(const boost::json::object &choice)
{
    const auto *text = choice.if_contains("text");
    if (const auto *delta = choice.if_contains("delta"); delta != nullptr && delta->is_object()) {
        text = delta->get_object().if_contains("content");
    }
    return text != nullptr && text->is_string() ? std::string(text->get_string()) : std::string();
}

} // namespace internal

Result<StreamChunk> parseStreamChunk(std::string_view data)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(data, ec);
    const auto *object = ec ? nullptr : value.if_object();
    if (object == nullptr) {
        return fail(ResultCode::UpstreamFailed, "a chunk of the stream is no JSON object", "data");
    }
    StreamChunk chunk;
    chunk.error = object->contains("error");
    if (const auto *index = object->if_contains("index")) {
        const auto number = index->to_number<std::uint32_t>(ec);
        if (ec) {
            return fail(ResultCode::UpstreamFailed, "the token number is no integer", "index");
        }
        chunk.index = number;
    }
    const auto *choices = object->if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty() || !choices->get_array().front().is_object()) {
        return chunk;
    }
    const auto &choice = choices->get_array().front().get_object();
    chunk.text = internal::textOf(choice);
    const auto *reason = choice.if_contains("finish_reason");
    chunk.finished = reason != nullptr && !reason->is_null();
    return chunk;
}

TokenSequence::Verdict TokenSequence::accept(const StreamChunk &chunk)
{
    if (!chunk.index) {
        if (!chunk.text.empty()) {
            return Verdict::OutOfSequence;
        }
        const bool repeatedStart = m_started && !m_tokenSeen && !chunk.finished;
        m_started = true;
        return repeatedStart ? Verdict::Skip : Verdict::Deliver;
    }
    if (*chunk.index != m_tokens) {
        return Verdict::OutOfSequence;
    }
    ++m_tokens;
    m_text += chunk.text;
    m_started = true;
    m_tokenSeen = true;
    return Verdict::Deliver;
}

} // namespace guavafield
