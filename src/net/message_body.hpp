#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <new>
#include <stdexcept>
#include <string>

namespace wagtailhitch::detail {

/// A Beast body held in a string that grows with the bytes that arrive. http::string_body reserves
/// the length that the head announces, so that one head could exhaust the process's memory.
struct message_body {
    using value_type = std::string;

    class reader {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_{body}
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& ec)
        {
            ec = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            try {
                for (auto it = boost::asio::buffer_sequence_begin(buffers);
                     it != boost::asio::buffer_sequence_end(buffers); ++it) {
                    const boost::asio::const_buffer part{*it};
                    body_.append(static_cast<const char*>(part.data()), part.size());
                    n += part.size();
                }
            }
            catch (const std::bad_alloc&) {
                ec = boost::beast::http::error::buffer_overflow;
            }
            catch (const std::length_error&) {
                ec = boost::beast::http::error::buffer_overflow;
            }
            return n;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

} // namespace wagtailhitch::detail
